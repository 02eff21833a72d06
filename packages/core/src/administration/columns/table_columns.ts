import type {ClassRow} from '../../types/class_row.js';
import type {CustomerRow} from '../../types/customer_row.js';
import type {EndpointRow} from '../../types/endpoint_row.js';
import type {ModelRow} from '../../types/model_row.js';
import {ChoiceColumn} from './choice_column.js';
import {FlagColumn} from './flag_column.js';
import {ListColumn} from './list_column.js';
import {NumberColumn} from './number_column.js';
import type {RowColumns} from './row_columns.js';
import {TextColumn} from './text_column.js';

const NAME_PATTERN = /^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$/;
const NAME_ALLOWED = 'up to 64 letters, digits, ".", "_" and "-"';
const URL_PATTERN = /^https?:\/\/[^\s/?#]+$/;
const KEY_HASH_PATTERN = /^[0-9a-f]{64}$/;
const MAX_TIMEOUT_MS = 86_400_000;
const MAX_RATE = 1_000_000_000;
const MAX_REPLICAS = 10_000;

const name = new TextColumn(NAME_PATTERN, NAME_ALLOWED);
const names = new ListColumn(NAME_PATTERN, `names: ${NAME_ALLOWED}`);
const flag = new FlagColumn();
const weight = new NumberColumn({min: 0.001, max: 1_000_000, whole: false});
const rate = new NumberColumn({min: 0, max: MAX_RATE, whole: false});
const replicas = new NumberColumn({min: 0, max: MAX_REPLICAS, whole: true});

const CLASS_COLUMNS: RowColumns<ClassRow> = {
  name,
  service: name,
  weight,
  priority: new NumberColumn({min: 0, max: 9, whole: true}),
  timeoutMs: new NumberColumn({min: 1, max: MAX_TIMEOUT_MS, whole: true}),
  idempotent: flag,
  objective: new ChoiceColumn(['first_token', 'short_slowdown', 'completion']),
};

const CUSTOMER_COLUMNS: RowColumns<CustomerRow> = {
  name,
  keyHashes: new ListColumn(
    KEY_HASH_PATTERN,
    'SHA-256 hashes in lower-case hexadecimal',
  ),
  classes: names,
  weight,
  requestsPerSecond: rate,
  tokensPerSecond: rate,
  maxConcurrent: new NumberColumn({min: 0, max: MAX_RATE, whole: true}),
};

const ENDPOINT_COLUMNS: RowColumns<EndpointRow> = {
  name,
  kind: new ChoiceColumn(['engine', 'service']),
  service: name,
  url: new TextColumn(URL_PATTERN, 'http://HOST:PORT without a path'),
  failureDomain: name,
  kvCapacityTokens: new NumberColumn({min: 0, max: MAX_RATE, whole: true}),
  checksFencing: flag,
  desired: new ChoiceColumn(['serving', 'draining', 'stopped']),
};

const MODEL_COLUMNS: RowColumns<ModelRow> = {
  name,
  version: name,
  adapters: names,
  minReplicas: replicas,
  maxReplicas: replicas,
};

/** Columns of every row type, in the order of the CSV files. */
export const TABLE_COLUMNS = {
  class: CLASS_COLUMNS,
  customer: CUSTOMER_COLUMNS,
  endpoint: ENDPOINT_COLUMNS,
  model: MODEL_COLUMNS,
};
