/** Errors of the platform package; errors from below are turned into these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Any failure that this package reports by throwing. */
export const StoreError = SkylarkError.subclass('StoreError');
