/** Errors of the manifest package; errors of lower layers are converted to them. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Base class of all errors that this package throws. */
export const ManifestError = SkylarkError.subclass('ManifestError');
