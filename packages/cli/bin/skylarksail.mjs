#!/usr/bin/env node
import { runCli } from '../dist/CliMain.js';

process.exitCode = await runCli(process.argv);
