import type {RowChange} from '@wisterialadder/core/table/row_change.js';

/** One change in the body of `POST /v1/edits`. */
export interface EditChange {
  type: string;
  name: string;
  base: number;
  values: Record<string, unknown> | null;
}

/** Converts a validated change to its form in the request body. */
export function editChange({key, base, row}: RowChange): EditChange {
  const slash = key.indexOf('/');
  const target = {type: key.slice(0, slash), name: key.slice(slash + 1), base};
  if (row === null) return {...target, values: null};
  const {type: _type, name: _name, ...values} = row;
  return {...target, values};
}
