//! Which headers cross the gateway.

use http::header::{self, HeaderMap, HeaderName};

/// Prefix of the headers that only nutmegbay itself may set.
const OWN_PREFIX: &str = "x-nutmegbay-";

/// Header with a key, an alternative to `Authorization`.
pub const API_KEY: HeaderName = HeaderName::from_static("x-api-key");

/// Headers that concern one connection only (RFC 9110, section 7.6.1), and those that the HTTP
/// library writes itself.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::HOST,
    header::PROXY_AUTHENTICATE,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    HeaderName::from_static("keep-alive"),
];

/// Headers with which a caller identifies itself; no upstream sees them.
const SECRETS: [HeaderName; 4] = [
    header::AUTHORIZATION,
    header::PROXY_AUTHORIZATION,
    header::COOKIE,
    API_KEY,
];

/// Key token of a request, from `Authorization: Bearer` or `X-Api-Key`.
pub fn key_token(headers: &HeaderMap) -> Option<&str> {
    let bearer = headers
        .get(header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.split_once(' '))
        .filter(|(scheme, _)| scheme.eq_ignore_ascii_case("bearer"))
        .map(|(_, token)| token.trim());
    bearer.or_else(|| headers.get(API_KEY)?.to_str().ok().map(str::trim))
}

/// Whether a header with a key stands more than once, so that it is not clear whose request it is.
pub fn has_several_keys(headers: &HeaderMap) -> bool {
    [header::AUTHORIZATION, API_KEY]
        .iter()
        .any(|name| headers.get_all(name).iter().count() > 1)
}

/// Copies the headers of a request that an upstream may see.
pub fn copy_request(from: &HeaderMap, to: &mut HeaderMap) {
    copy(from, to, |name| SECRETS.contains(name));
}

/// Copies the headers of an answer that the caller may see.
pub fn copy_response(from: &HeaderMap, to: &mut HeaderMap) {
    copy(from, to, |_| false);
}

fn copy(from: &HeaderMap, to: &mut HeaderMap, is_secret: impl Fn(&HeaderName) -> bool) {
    for (name, value) in from {
        let is_dropped = HOP_BY_HOP.contains(name)
            || name.as_str().starts_with(OWN_PREFIX)
            || is_secret(name)
            || is_named_by_connection(from, name);
        if !is_dropped {
            to.append(name.clone(), value.clone());
        }
    }
}

fn is_named_by_connection(headers: &HeaderMap, name: &HeaderName) -> bool {
    headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name.as_str()))
}
