/** Errors of the placement package; errors from below are turned into these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Any failure that this package reports by throwing. */
export const PlacementError = SkylarkError.subclass('PlacementError');
