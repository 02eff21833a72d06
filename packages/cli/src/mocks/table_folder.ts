import {mkdtempSync, rmSync, writeFileSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';

/** Files of a small valid table. */
export function tableFiles(): Record<string, string> {
  return {
    'model.csv':
      'name,version,adapters,minReplicas,maxReplicas\ncoder,v1,,1,4\n',
    'endpoint.csv':
      'name,kind,service,url,failureDomain,kvCapacityTokens,' +
      'checksFencing,desired\n' +
      'engine-1,engine,coder,http://127.0.0.1:9001,amman-1,400000,' +
      'TRUE,serving\n',
    'class.csv':
      'name,service,weight,priority,timeoutMs,idempotent,objective\n' +
      'lookup,coder,"2.5",1,5000,TRUE,first_token\n',
    'customer.csv':
      'name,keyHashes,classes,weight,requestsPerSecond,tokensPerSecond,' +
      'maxConcurrent\nclerks,,lookup,1,0,0,0\n',
  };
}

/** Writes files to a temporary folder, removed when the process exits. */
export function folderWith(files: Record<string, string>): string {
  const folder = mkdtempSync(join(tmpdir(), 'wlctl-'));
  process.on('exit', () => rmSync(folder, {recursive: true, force: true}));
  for (const [name, content] of Object.entries(files)) {
    writeFileSync(join(folder, name), content);
  }
  return folder;
}
