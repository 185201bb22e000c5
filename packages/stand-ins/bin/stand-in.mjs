#!/usr/bin/env node
import { runStandIn } from '../dist/StandInMain.js';

await runStandIn(process.argv);
