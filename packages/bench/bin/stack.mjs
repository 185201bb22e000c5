#!/usr/bin/env node
import { runStackCommand } from '../dist/StackMain.js';

await runStackCommand(process.argv);
