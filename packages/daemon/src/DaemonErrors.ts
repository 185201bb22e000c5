/** Errors of the daemon; those of libraries and of other packages are turned into these. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Any failure that the daemon reports by throwing. */
export const DaemonError = SkylarkError.subclass('DaemonError');

/** Settings that cannot be used; the message lists every fault with its path. */
export const SettingsError = DaemonError.subclass('SettingsError');
