import {causeKind} from '@wisterialadder/core/quarantine/cause_kind.js';
import {fetchGatewayStatus} from '../client/fetch_gateway_status.js';
import type {Command} from './command.js';
import {failure, success} from './command_result.js';
import {parseOpsAddress} from './ops_address.js';

/** Lists what a gateway keeps from engines: parts of prompts and requests. */
export const QUARANTINE_LIST: Command = {
  usage: 'gateway quarantine <address>',
  help: 'List parts of prompts and requests that end engines, and those suspected of it; needs no key',
  options: [],
  examples: ['gateway quarantine http://10.0.0.1:9464'],
  run: async (_ctx, {args: [address = '']}) => {
    const url = parseOpsAddress(address);
    if (!url.ok) return url.val;
    const response = await fetchGatewayStatus(url.val);
    if (!response.ok) return failure(response.val);
    const {quarantine, suspectedCauses} = response.val;
    return success({
      columns: ['kind', 'id', 'state', 'only together with', 'since', 'trials'],
      rows: quarantine.map(entry => [
        causeKind(entry.cause),
        entry.cause,
        entry.state,
        entry.companions.join(' '),
        new Date(entry.changedAtMs).toISOString(),
        entry.trials,
      ]),
      notes: suspectedCauses.map(
        cause => `${causeKind(cause)} ${cause} is suspected`,
      ),
      json: {quarantine, suspectedCauses},
    });
  },
};
