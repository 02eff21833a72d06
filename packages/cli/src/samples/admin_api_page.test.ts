import assert from 'node:assert/strict';
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {readFileSync} from 'node:fs';
import {test} from 'node:test';
import {fileURLToPath} from 'node:url';
import {docBlocks} from '../mocks/doc_blocks.js';

const ROOT = fileURLToPath(new URL('../../../../', import.meta.url));
const END_OF_BLOCK = '@@ end of block';

// Skips the first block, which starts the demo on a fixed port: other runs on
// the machine may use it, so this test starts the demo on a free one.
const [, ...BLOCKS] = docBlocks(
  readFileSync(`${ROOT}docs/ADMIN_API.md`, 'utf8'),
);

function outputOf(shell: string, env: Record<string, string>): Promise<string> {
  const child = spawn('bash', ['-eu', '-c', shell], {
    cwd: ROOT,
    env: {...process.env, ...env},
    stdio: ['ignore', 'pipe', 'ignore'],
  });
  return new Promise((resolve, reject) => {
    let text = '';
    child.stdout.on('data', (chunk: Buffer) => (text += chunk.toString()));
    child.on('error', reject);
    child.on('close', code =>
      code === 0 ? resolve(text) : reject(new Error(`${code}: ${text}`)),
    );
  });
}

test('the commands of ADMIN_API.md give the output that it shows', async () => {
  const demo = spawn(
    process.execPath,
    ['scripts/demo_admin.mjs', '127.0.0.1:0'],
    {cwd: ROOT, stdio: ['ignore', 'pipe', 'inherit']},
  );
  try {
    const ended = once(demo, 'exit').then(() =>
      assert.fail('demo exited early'),
    );
    const started = once(demo.stdout, 'data') as Promise<[Buffer]>;
    const [line] = await Promise.race([started, ended]);
    const url = /http:\S+/.exec(line.toString())?.[0] ?? '';
    const shell = BLOCKS.map(
      ({commands}) => `${commands}echo '${END_OF_BLOCK}'\n`,
    ).join('');
    const env = {WL_ADMIN_URL: url, WL_ADMIN_KEY: 'demo-editor'};
    const outputs = (await outputOf(shell, env)).split(`${END_OF_BLOCK}\n`);
    BLOCKS.forEach(({output}, index) => {
      if (output === undefined) return;
      assert.ok(
        outputs[index]?.startsWith(output),
        `expected:\n${output}\nwas:\n${outputs[index]}`,
      );
    });
  } finally {
    if (demo.exitCode === null) {
      const exit = once(demo, 'exit');
      demo.kill('SIGTERM');
      await exit;
    }
  }
});
