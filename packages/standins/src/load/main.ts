import './log_to_stderr.js';
import {runProgram} from '@wisterialadder/runtime/program/run_program.js';
import {LOAD_PROGRAM} from './load_program.js';

await runProgram(LOAD_PROGRAM);
