//! HTTP/1.1 server and client edges over async-h1, with the limits it lacks.
