/** Errors of the manifest package; errors from below are turned into these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Any failure that this package reports by throwing. */
export const ManifestError = SkylarkError.subclass('ManifestError');
