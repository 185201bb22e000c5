#!/usr/bin/env node
import { runDemo } from '../dist/DemoMain.js';

process.exitCode = await runDemo();
