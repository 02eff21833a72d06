import {readFileSync} from 'node:fs';
import {parseJson} from '../../shared/parse_json.js';
import type {Mix} from './mix.js';
import {MIX_SCHEMA} from './mix_schema.js';

/** Reads and validates a mix file; throws an error naming the fault. */
export function readMix(file: string): Mix {
  const mix = parseJson(readFileSync(file, 'utf8'), MIX_SCHEMA);
  if (!mix.ok) throw new Error(`${file}: ${mix.val}`);
  const known = new Set(mix.val.customers.map(({name}) => name));
  for (const {name, customers} of mix.val.classes) {
    const unknown = customers.find(customer => !known.has(customer));
    if (unknown === undefined) continue;
    throw new Error(`${file}: class ${name}: unknown customer ${unknown}`);
  }
  return mix.val;
}
