/** CPU time and resident memory of a process, read from `/proc`. */
import { readFileSync } from 'node:fs';

const TICKS_PER_SECOND = 100;
const BYTES_PER_KIB = 1024;

/** Fields of /proc/PID/stat after the command name, counted from 0. */
const USER_FIELD = 11;
const SYSTEM_FIELD = 12;

/** User and system CPU time that a process has used, in seconds. */
export function readCpuSeconds(pid: number): number {
  const stat = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[USER_FIELD]) + Number(fields[SYSTEM_FIELD])) / TICKS_PER_SECOND;
}

export function readResidentBytes(pid: number): number {
  const status = readFileSync(`/proc/${pid}/status`, 'utf8');
  const found = /VmRSS:\s+(\d+) kB/.exec(status);
  return Number(found?.[1] ?? 0) * BYTES_PER_KIB;
}
