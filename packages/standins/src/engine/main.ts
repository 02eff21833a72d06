import {runProgram} from '@wisterialadder/runtime/program/run_program.js';
import {ENGINE_PROGRAM} from './engine_program.js';

await runProgram(ENGINE_PROGRAM);
