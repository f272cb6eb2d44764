#!/usr/bin/env node
/** The `egretspoke` binary. */
import process from 'node:process';
import {runProgram} from './program.js';
import {createProcessTerminal} from './terminal.js';

process.exitCode = await runProgram(
	process.argv.slice(2),
	createProcessTerminal(),
);
