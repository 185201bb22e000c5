/** Errors of the relay. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

export const RelayError = SkylarkError.subclass('RelayError');
