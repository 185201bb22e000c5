/** Structured logs, one JSON line each; secrets are never part of what is passed in. */
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
