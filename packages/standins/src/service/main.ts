import {runProgram} from '@wisterialadder/runtime/program/run_program.js';
import {SERVICE_PROGRAM} from './service_program.js';

await runProgram(SERVICE_PROGRAM);
