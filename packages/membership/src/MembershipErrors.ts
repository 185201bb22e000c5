/** Error types of the membership package. Errors of lower layers are wrapped in these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Base class of all errors that this package throws. */
export const MembershipError = SkylarkError.subclass('MembershipError');
