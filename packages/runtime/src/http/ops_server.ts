import type {Metrics} from '../metrics/create_metrics.js';
import type {HttpRoute} from './http_route.js';
import {startHttpServer, type HttpServer} from './http_server.js';
import {createOpsIntake} from './ops_intake.js';
import {sendJson} from './send_json.js';
import type {Readiness} from './readiness.js';

/** Starts the operations port: `/metrics`, `/healthz` and `/readyz`. */
export function startOpsServer(
  address: string,
  metrics: Metrics,
  readiness: Readiness,
  onError: (err: unknown) => void,
  extra: HttpRoute[] = [],
): Promise<HttpServer> {
  const routes: HttpRoute[] = [
    {
      method: 'GET',
      path: /^\/metrics$/,
      handler: async (_req, res) => {
        const body = await metrics.text();
        res.writeHead(200, {'content-type': 'text/plain; version=0.0.4'});
        res.end(body);
      },
    },
    {
      method: 'GET',
      path: /^\/healthz$/,
      handler: (_req, res) => sendJson(res, 200, {status: 'alive'}),
    },
    {
      method: 'GET',
      path: /^\/readyz$/,
      handler: (_req, res) => {
        const {ready, reason} = readiness;
        sendJson(res, ready ? 200 : 503, {ready, reason});
      },
    },
  ];
  const intake = createOpsIntake();
  return startHttpServer(address, [...routes, ...extra], onError, intake);
}
