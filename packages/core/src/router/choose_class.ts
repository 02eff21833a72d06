import {Err, Ok, type Result} from '../shared/result.js';
import type {ClassRow} from '../types/class_row.js';
import type {CustomerRow} from '../types/customer_row.js';
import type {OutcomeCode} from '../types/outcome_code.js';
import type {RequestArrived} from './events/request_arrived.js';

/** Finds the class of a request: the named one or the customer's first. */
export function chooseClass(
  event: RequestArrived,
  customer: CustomerRow,
  classes: ClassRow[],
): Result<ClassRow, OutcomeCode> {
  const allowed = customer.classes
    .map(name => classes.find(row => row.name === name))
    .filter(row => row !== undefined);
  const cls =
    event.className === ''
      ? allowed.find(row => serves(row, event.service))
      : allowed.find(row => row.name === event.className);
  if (!cls)
    return Err(event.className === '' ? 'unknown_service' : 'unknown_class');
  if (!serves(cls, event.service)) return Err('unknown_service');
  return Ok(cls);
}

function serves(row: ClassRow, service: string): boolean {
  return service === '' || row.service === service;
}
