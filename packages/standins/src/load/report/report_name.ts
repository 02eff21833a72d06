/** Names of the report formats. */
export type ReportName = 'table' | 'json';
