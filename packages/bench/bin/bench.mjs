#!/usr/bin/env node
import { runBenchCommand } from '../dist/BenchMain.js';

process.exitCode = await runBenchCommand(process.argv);
