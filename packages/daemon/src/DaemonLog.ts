/**
 * Structured logging, one JSON object per line. Callers must not pass secrets to the logger; the
 * redacted paths are only a second safeguard.
 */
import { pino } from 'pino';
import type { Logger } from 'pino';
import type { Settings } from './DaemonSettings.js';

export type DaemonLogger = Logger;

export function createDaemonLog(settings: Pick<Settings, 'instance' | 'domain' | 'log'>): Logger {
  return pino({
    level: settings.log.level,
    base: { instance: settings.instance, domain: settings.domain },
    timestamp: pino.stdTimeFunctions.isoTime,
    redact: ['req.headers.authorization', '*.secret', '*.token'],
  });
}
