/* global console, setTimeout, URL */
// Writes record.txt beside a script and ends it with the verdict.
import {writeFileSync} from 'node:fs';
import process from 'node:process';
import {fileURLToPath} from 'node:url';

const HELD = 0;
const BROKEN = 1;
const NOT_RUN = 2;
const LIMIT_MS = 105_000;

/**
 * Runs a case. `play` gets `note`, which writes a line, and `add`, which takes
 * what must be stopped at the end; it resolves with the faults that it found.
 */
export async function runCase(url, play) {
  const startMs = Date.now();
  const lines = [];
  const parts = [];
  const trouble = process.env.TROUBLE !== '0';
  const note = text => {
    const line = `${((Date.now() - startMs) / 1_000).toFixed(3)} ${text}`;
    lines.push(line);
    console.log(line);
  };
  const add = part => {
    parts.push(part);
    return part;
  };
  const failed = new Promise((_resolve, reject) => {
    process.on('uncaughtException', reject);
    process.on('unhandledRejection', reject);
    setTimeout(() => reject(new Error('it took too long')), LIMIT_MS).unref();
  });
  note(`the disruption is ${trouble ? 'on' : 'off'}`);
  let code = NOT_RUN;
  try {
    const faults = await Promise.race([play({note, add, trouble}), failed]);
    for (const fault of faults) note(`BROKEN: ${fault}`);
    if (faults.length === 0) note('HELD');
    code = faults.length > 0 ? BROKEN : HELD;
  } catch (err) {
    note(`NOT RUN: ${err.stack}`);
  }
  for (const part of parts.reverse()) await (part.stop ?? part.close)();
  const file = fileURLToPath(new URL('record.txt', url));
  writeFileSync(file, `${lines.join('\n')}\n`);
  process.exit(code);
}
