// roarr prints only if this variable is set when it is first imported.
process.env['ROARR_LOG'] = 'true';
