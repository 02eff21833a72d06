import type {GatewayAnswer} from '../client/gateway_answer.js';
import {readGateway} from '../client/read_gateway.js';
import type {Command} from './command.js';
import {done, failure, wrongUsage} from './command_result.js';

/** Shows what a gateway believes of the store, its peers and endpoints. */
export const GATEWAY_STATUS: Command = {
  usage: 'gateway status <address>',
  help: 'Show what a gateway believes; needs no key',
  options: [],
  examples: [
    'gateway status http://10.0.0.1:9464',
    'gateway status http://10.0.0.1:9464 --json',
  ],
  run: async (_ctx, {args: [address = '']}) => {
    if (!URL.canParse(address)) {
      const hint = 'Give the operations port, as in http://10.0.0.1:9464.';
      return wrongUsage(`"${address}" is no address`, hint);
    }
    const answer = await readGateway(address.replace(/\/+$/, ''));
    if (!answer.ok) return failure(answer.val);
    const {endpoints} = answer.val;
    return done({
      columns: [
        'endpoint',
        'service',
        'domain',
        'standing',
        'in flight',
        'reading ms',
        'pace',
        'aside ms',
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
        endpoint.lastFailure,
      ]),
      notes: notes(answer.val),
      json: answer.val,
    });
  },
};

function notes(status: GatewayAnswer): string[] {
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
    `peers: ${members.length - silent.length} of ${members.length} alive` +
      silent.map(({address: peer}) => `, ${peer} is not`).join(''),
    `repeats left: ${repeats || 'none known'}`,
  ];
}
