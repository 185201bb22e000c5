/** Errors of the requests package; errors of lower layers are converted to these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Any error that this package throws. */
export const RequestError = SkylarkError.subclass('RequestError');
