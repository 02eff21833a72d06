#!/usr/bin/env node
import {runProgram} from '@wisterialadder/runtime/program/run_program.js';
import {ROUTER_PROGRAM} from '../dist/router_program.js';

await runProgram(ROUTER_PROGRAM);
