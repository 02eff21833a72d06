/**
 * Column of exported files with the version of the row in the table. Models
 * have a column `version` of their own.
 */
export const ROW_VERSION_COLUMN = 'rowVersion';
