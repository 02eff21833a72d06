// Runs the bundle in this directory with the V8 code cache of the build, which
// halves the start time. Without a usable cache V8 compiles the bundle.
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {join} from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';
import {listenEarly} from './listen_early.mjs';

await listenEarly();

const BUNDLE = join(import.meta.dirname, 'wl-gateway.cjs');
const CACHE = join(import.meta.dirname, 'wl-gateway.cache');

function readCache() {
  try {
    return readFileSync(CACHE);
  } catch (err) {
    if (err.code === 'ENOENT') return undefined;
    throw err;
  }
}

const source = `(function (require) {${readFileSync(BUNDLE, 'utf8')}\n})`;
const script = new Script(source, {filename: BUNDLE, cachedData: readCache()});
if (script.cachedDataRejected) {
  // V8 accepts a cache only from the same version with the same flags.
  process.stderr.write(`${CACHE}: not used, made by another Node.js\n`);
}
script.runInThisContext()(createRequire(BUNDLE));
if (process.argv.includes('--write-code-cache')) {
  // Functions are compiled on their first call, so a cache written at exit also
  // covers code that the start does not reach.
  process.on('exit', () => writeFileSync(CACHE, script.createCachedData()));
}
