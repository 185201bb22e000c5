/** Errors of the store package; errors of lower layers are converted to these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Thrown by this package for any failure. */
export const StoreError = SkylarkError.subclass('StoreError');
