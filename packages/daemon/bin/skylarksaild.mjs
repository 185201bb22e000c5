#!/usr/bin/env node
import { runDaemon } from '../dist/DaemonMain.js';

await runDaemon(process.argv);
