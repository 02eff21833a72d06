// Writes the pages that are generated from definitions in the code. Needs
// "npm run build" first.
import {writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {allPages} from '../packages/cli/dist/pages/all_pages.js';

for (const {file, content} of allPages()) {
  writeFileSync(join(import.meta.dirname, '..', file), content);
  console.log(`written: ${file}`);
}
