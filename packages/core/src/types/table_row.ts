import type {ClassRow} from './class_row.js';
import type {CustomerRow} from './customer_row.js';
import type {EndpointRow} from './endpoint_row.js';
import type {ModelRow} from './model_row.js';

/** Any row of the operators' table. */
export type TableRow = ClassRow | CustomerRow | EndpointRow | ModelRow;
