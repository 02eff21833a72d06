// Measures how state, messages and CPU time grow with the size of the fleet.
// Needs a build.
// Usage: node --expose-gc scripts/measure_capacity.mjs [SECTION...]
// Sections: table, limits, steps, prefix, reports. Default: all.
import process from 'node:process';
import {measureLimits} from './capacity/measure_limits.mjs';
import {measurePrefix} from './capacity/measure_prefix.mjs';
import {measureReports} from './capacity/measure_reports.mjs';
import {measureSteps} from './capacity/measure_steps.mjs';
import {measureTable} from './capacity/measure_table.mjs';

const SECTIONS = {
  table: measureTable,
  limits: measureLimits,
  steps: measureSteps,
  prefix: measurePrefix,
  reports: measureReports,
};

const names = process.argv.slice(2);
for (const name of names.length > 0 ? names : Object.keys(SECTIONS)) {
  console.log(name);
  await SECTIONS[name]();
}
