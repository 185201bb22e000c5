/** Errors of the placement package; errors of the packages that it uses are converted to these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Thrown for any failure in this package. */
export const PlacementError = SkylarkError.subclass('PlacementError');
