// Standard output belongs to the report; roarr reads this when imported.
process.env['ROARR_STREAM'] = 'STDERR';
