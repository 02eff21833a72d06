#!/usr/bin/env node
import {runProgram} from '@wisterialadder/runtime/program/run_program.js';
import {ADMIN_PROGRAM} from '../dist/admin_program.js';

await runProgram(ADMIN_PROGRAM);
