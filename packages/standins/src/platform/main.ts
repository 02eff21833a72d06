import {runProgram} from '@wisterialadder/runtime/program/run_program.js';
import {PLATFORM_PROGRAM} from './platform_program.js';

await runProgram(PLATFORM_PROGRAM);
