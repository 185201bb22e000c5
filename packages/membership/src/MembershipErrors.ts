/** Errors of the membership package; errors from below are turned into these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Any failure that this package reports by throwing. */
export const MembershipError = SkylarkError.subclass('MembershipError');
