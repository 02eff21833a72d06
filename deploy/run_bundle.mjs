// Runs the bundle beside this file with the code that V8 compiled at build
// time, which halves the time to start. Without a usable cache it compiles.
import {readFileSync, writeFileSync} from 'node:fs';
import {createRequire} from 'node:module';
import {join} from 'node:path';
import process from 'node:process';
import {Script} from 'node:vm';

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
  // V8 takes it only from the same version with the same flags.
  process.stderr.write(`${CACHE}: not used, made by another Node.js\n`);
}
script.runInThisContext()(createRequire(BUNDLE));
if (process.argv.includes('--write-code-cache')) {
  // Functions are compiled when they are first called, so the cache of a run
  // holds more than what the start alone needs.
  process.on('exit', () => writeFileSync(CACHE, script.createCachedData()));
}
