/** Error classes of the daemon; errors of libraries and other packages are converted to them. */
import { SkylarkError } from '@skylarksail/core/CoreErrors';

/** Base class of the errors that the daemon throws. */
export const DaemonError = SkylarkError.subclass('DaemonError');

/** Invalid or unreadable settings; for invalid ones the message lists every fault with its path. */
export const SettingsError = DaemonError.subclass('SettingsError');
