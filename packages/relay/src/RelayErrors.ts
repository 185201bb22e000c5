import { SkylarkError } from '@skylarksail/core/CoreErrors';

export const RelayError = SkylarkError.subclass('RelayError');
