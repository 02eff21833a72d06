/**
 * Column of exported files that holds the version of the row in the table. Not
 * named `version`, since models have a column of that name.
 */
export const ROW_VERSION_COLUMN = 'rowVersion';
