import type {ExplanationResponse} from '../client/explanation_response.js';
import {fetchExplanation} from '../client/fetch_explanation.js';
import type {Command} from './command.js';
import type {CommandInput} from './command_input.js';
import {failure, success, usageError} from './command_result.js';
import {parseOpsAddress} from './ops_address.js';

/** Options with a number of tokens, and their names in the query. */
const TOKEN_OPTIONS = [
  ['prompt', 'promptTokens'],
  ['max', 'maxOutputTokens'],
  ['hint', 'expectedOutputTokens'],
] as const;

/** Shows where a gateway would send a described request now. */
export const EXPLAIN: Command = {
  usage: 'explain <address> <route>',
  help: 'Show where a request would go now, and why; sends nothing, needs no key',
  options: [
    {flag: '--customer <name>', help: 'Customer name'},
    {flag: '--prompt <n>', help: 'Tokens of the prompt'},
    {flag: '--max <n>', help: 'Largest number of tokens of the answer'},
    {flag: '--hint <n>', help: 'Tokens of the answer as the caller expects'},
    {flag: '--parts <ids>', help: 'Ids of prompt parts, separated by commas'},
  ],
  examples: [
    'explain http://10.0.0.1:9464 lookup --prompt 5000 --max 2000 --hint 800',
    'explain http://10.0.0.1:9464 write --customer ana --json',
  ],
  run: async (_ctx, input) => {
    const [address = '', route = ''] = input.args;
    const url = parseOpsAddress(address);
    if (!url.ok) return url.val;
    const query = queryOf(route, input);
    if (!query) return usageError('a number of tokens is not a number', '');
    const response = await fetchExplanation(url.val, query);
    if (!response.ok) return failure(response.val);
    const {endpoints} = response.val;
    return success({
      columns: ['endpoint', 'domain', 'in flight', 'expected ms', 'loss', ''],
      rows: endpoints.map(endpoint => [
        endpoint.id,
        endpoint.failureDomain,
        endpoint.inFlight,
        endpoint.excluded === 'none' ? endpoint.expectedMs : '',
        endpoint.excluded === 'none' ? endpoint.loss : '',
        remark(endpoint),
      ]),
      notes: notes(response.val),
      json: response.val,
    });
  },
};

/** Undefined if an option is not a number. */
function queryOf(
  route: string,
  {option}: CommandInput,
): URLSearchParams | undefined {
  const query = new URLSearchParams({route});
  query.set('customer', option('customer') ?? '');
  for (const [name, field] of TOKEN_OPTIONS) {
    const value = option(name) ?? '0';
    if (!/^\d{1,9}$/.test(value)) return undefined;
    query.set(field, value);
  }
  for (const part of option('parts')?.split(',') ?? []) {
    query.append('part', part);
  }
  return query;
}

function remark({
  excluded,
  queued,
}: ExplanationResponse['endpoints'][number]): string {
  if (excluded !== 'none') return excluded.replace('_', ' ');
  return queued ? 'no free slot' : '';
}

function notes(found: ExplanationResponse): string[] {
  const {decision, service, main, helpers, startInMs, expectedMs} = found;
  const work =
    found.serviceMs > 0
      ? `${Math.round(found.serviceMs)} ms of service`
      : `${found.outputTokens} tokens of answer`;
  const lines = [`decision: ${decision.replaceAll('_', ' ')}`];
  if (service !== '') lines.push(`service ${service}, expected: ${work}`);
  if (main === '') return lines;
  return [
    ...lines,
    `best: ${[main, ...helpers].join(' + ')}, sent in ${startInMs} ms, ` +
      `answer begins in ${expectedMs} ms (${found.reason})`,
  ];
}
