/** Errors of the claims package. Errors of lower layers are wrapped in them. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Base class of all errors that this package throws. */
export const ClaimError = SkylarkError.subclass('ClaimError');
