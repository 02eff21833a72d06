// Keeps logs out of the report on stdout; roarr reads this when imported.
process.env['ROARR_STREAM'] = 'STDERR';
