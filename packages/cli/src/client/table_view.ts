import type {VersionedRow} from '@wisterialadder/core/table/versioned_row.js';

/** The table as the API returns it. */
export interface TableView {
  offset: number;
  rows: VersionedRow[];
}
