// Stands in for node:http2, which the libraries load but the daemon, which speaks HTTP/1.1, does not use.
exports.constants = {}
exports.Http2ServerRequest = class Http2ServerRequest {}
exports.Http2ServerResponse = class Http2ServerResponse {}
