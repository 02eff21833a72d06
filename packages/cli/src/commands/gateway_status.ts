import type {GatewayStatusResponse} from '../client/gateway_status_response.js';
import {fetchGatewayStatus} from '../client/fetch_gateway_status.js';
import type {Command} from './command.js';
import {success, failure} from './command_result.js';
import {parseOpsAddress} from './ops_address.js';

/** Shows how a gateway sees the store, its peers and the endpoints. */
export const GATEWAY_STATUS: Command = {
  usage: 'gateway status <address>',
  help: 'Show how a gateway sees store, peers and endpoints; needs no key',
  options: [],
  examples: [
    'gateway status http://10.0.0.1:9464',
    'gateway status http://10.0.0.1:9464 --json',
  ],
  run: async (_ctx, {args: [address = '']}) => {
    const url = parseOpsAddress(address);
    if (!url.ok) return url.val;
    const response = await fetchGatewayStatus(url.val);
    if (!response.ok) return failure(response.val);
    const {endpoints} = response.val;
    return success({
      columns: [
        'endpoint',
        'service',
        'domain',
        'standing',
        'in flight',
        'reading ms',
        'pace',
        'aside ms',
        'paused ms',
        'cold ms',
        'limit',
        'last failure',
      ],
      rows: endpoints.map(endpoint => [
        endpoint.id,
        endpoint.service,
        endpoint.failureDomain,
        endpoint.standing,
        endpoint.inFlight,
        Math.round(endpoint.readingMs),
        endpoint.pace.toFixed(2),
        Math.round(endpoint.asideMs),
        Math.round(endpoint.pausedMs),
        Math.round(endpoint.coldMs),
        endpoint.limitPerS < 0 ? '' : endpoint.limitPerS,
        endpoint.lastFailure,
      ]),
      notes: notes(response.val),
      json: response.val,
    });
  },
};

function notes(status: GatewayStatusResponse): string[] {
  const {address, stage, inFlight, members, repeatsLeft} = status;
  const silent = members.filter(({alive}) => !alive);
  const store = status.storeReachable ? 'reachable' : 'NOT reachable';
  const repeats = Object.entries(repeatsLeft)
    .map(([service, left]) => `${service} ${Math.floor(left)}`)
    .join(', ');
  return [
    `gateway ${address}: ${stage}, ${inFlight} requests in flight`,
    `configuration ${status.configurationVersion}, known as of ` +
      `${Math.round(status.knowledgeAgeMs)} ms ago, store ${store}`,
    ...drainNote(status),
    `peers: ${members.length - silent.length} of ${members.length} alive` +
      silent.map(({address: peer}) => `, ${peer} is not`).join(''),
    `repeats left: ${repeats || 'none known'}`,
  ];
}

function drainNote({drainedDomains}: GatewayStatusResponse): string[] {
  if (drainedDomains.length === 0) return [];
  return [`drained failure domains: ${drainedDomains.join(', ')}`];
}
