// roarr prints only with this variable, read when it is first imported.
process.env['ROARR_LOG'] = 'true';
