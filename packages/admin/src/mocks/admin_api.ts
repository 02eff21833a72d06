import {createHash} from 'node:crypto';
import {createDisposableStore} from '@wisterialadder/runtime/lifecycle/disposable_store.js';
import {createMetrics} from '@wisterialadder/runtime/metrics/create_metrics.js';
import {MemoryLogClient} from '@wisterialadder/runtime/mocks/memory_log_client.js';
import {parseSettings} from '@wisterialadder/runtime/settings/parse_settings.js';
import {startAdminService} from '../admin_service.js';
import type {OperatorRole} from '../auth/operator_role.js';
import {ADMIN_SETTINGS} from '../settings.js';

/** Response of the API. */
export interface ApiResponse {
  status: number;
  etag: string | null;
  body: Record<string, unknown>;
}

/** Role, body and headers of a call. */
export interface ApiCall {
  role?: OperatorRole | 'none';
  body?: unknown;
  headers?: Record<string, string>;
}

/** A running API that stores the table in an in-memory log. */
export interface AdminApi {
  url: string;
  log: MemoryLogClient;
  call(method: string, path: string, call?: ApiCall): Promise<ApiResponse>;
  dispose(): Promise<void>;
}

/** Key of each role in tests. */
export function testKey(role: string): string {
  return `test-key-${role}`;
}

/** Settings of an API on a free port with one key for each role. */
export function adminSettings(): string {
  const entry = (role: string): string => {
    const hash = createHash('sha256').update(testKey(role)).digest('hex');
    return `${role}-1:${hash}`;
  };
  return `
[admin]
listen = 127.0.0.1:0
max_body_kb = 16
[ops]
listen = 127.0.0.1:0
[platform]
url = http://127.0.0.1:1
[edits]
answer_within = 200
retry_every = 100
[keys]
readers = ${entry('reader')}
operators = ${entry('operator')}
editors = ${entry('editor')}
[routers]
ops = 127.0.0.1:1
timeout = 200
[memory]
budget = 0.05
`;
}

/** Starts an API on a log; answers an edit as pending after 200 ms. */
export async function startAdminApi(
  log = new MemoryLogClient(),
): Promise<AdminApi> {
  const cfg = parseSettings(ADMIN_SETTINGS, adminSettings(), 'test.ini');
  if (!cfg.ok) throw new Error(JSON.stringify(cfg.val));
  const store = createDisposableStore(err => {
    throw err;
  });
  const server = await startAdminService({
    cfg: cfg.val,
    log,
    logger: {write: () => undefined},
    metrics: createMetrics(),
    readiness: {ready: false, reason: ''},
    store,
  });
  const url = `http://${server.address}`;

  async function call(
    method: string,
    path: string,
    {role = 'editor', body, headers = {}}: ApiCall = {},
  ): Promise<ApiResponse> {
    const auth: Record<string, string> =
      role === 'none' ? {} : {authorization: `Bearer ${testKey(role)}`};
    const res = await fetch(`${url}${path}`, {
      method,
      headers: {...auth, connection: 'close', ...headers},
      body: body === undefined ? undefined : JSON.stringify(body),
    });
    return {
      status: res.status,
      etag: res.headers.get('etag'),
      body: (await res.json()) as Record<string, unknown>,
    };
  }

  return {url, log, call, dispose: () => store.dispose()};
}
