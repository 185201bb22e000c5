/** Errors of the routing package; errors of dependencies are wrapped in these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Any failure that this package reports by throwing. */
export const RoutingError = SkylarkError.subclass('RoutingError');
