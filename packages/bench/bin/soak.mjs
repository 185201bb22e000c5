#!/usr/bin/env node
import { runSoakCommand } from '../dist/SoakMain.js';

process.exitCode = await runSoakCommand(process.argv);
