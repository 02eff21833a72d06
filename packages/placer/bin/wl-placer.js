#!/usr/bin/env node
import {runProgram} from '@wisterialadder/runtime/program/run_program.js';
import {PLACER_PROGRAM} from '../dist/placer_program.js';

await runProgram(PLACER_PROGRAM);
